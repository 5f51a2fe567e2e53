package loadspread

import (
	"image"
	"image/color"
	"image/png"
	"io"
	"time"
)

// cell is the width and height of a window of a node in a picture, in pixels.
const cell = 4

// Heat writes a PNG picture: nodes across, time down in windows, a node's requests over the mean of its window as colour.
// Blue is idle, grey is the mean, yellow and red are twice and three times it and more.
func (c *Counts) Heat(w io.Writer, from, to, window time.Duration) error {
	rows := int((to - from) / window)
	img := image.NewRGBA(image.Rect(0, 0, c.nodes*cell, rows*cell))
	for row := range rows {
		at := from + time.Duration(row)*window
		counts, sum := c.Between(at, at+window), 0
		for _, x := range counts {
			sum += x
		}
		for node, x := range counts {
			shade := color.RGBA{255, 255, 255, 255} // nothing came to anybody
			if sum > 0 {
				shade = shadeOf(float64(x) * float64(c.nodes) / float64(sum))
			}
			for dy := range cell {
				for dx := range cell {
					img.SetRGBA(node*cell+dx, row*cell+dy, shade)
				}
			}
		}
	}
	return png.Encode(w, img)
}

// shades are colours by load over the mean, at 0, 1, 2 and 3.
var shades = [...][3]float64{{30, 60, 160}, {225, 225, 225}, {245, 200, 60}, {190, 20, 30}}

func shadeOf(load float64) color.RGBA {
	load = min(max(load, 0), float64(len(shades)-1))
	i := min(int(load), len(shades)-2)
	part := load - float64(i)
	var rgb [3]uint8
	for k := range rgb {
		rgb[k] = uint8(shades[i][k] + part*(shades[i+1][k]-shades[i][k]))
	}
	return color.RGBA{rgb[0], rgb[1], rgb[2], 255}
}
